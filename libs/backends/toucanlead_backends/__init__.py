"""Clients of back ends: model engines, tool services and applications."""
