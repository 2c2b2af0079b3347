"""Messages between entries, their transport over grpclib, and membership probes."""
