"""Clients for back ends: model engines, tool services and applications."""
