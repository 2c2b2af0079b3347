"""Messages and gRPC calls between entries and archives."""
