"""Entry daemon: owns programs, routes their calls, and serves callers and operators."""
