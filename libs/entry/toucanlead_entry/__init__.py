"""The entry daemon: owns programs, decides, and serves callers and operators."""
