"""Clients of the platform: its key-value service and host list, the table's file and settings."""
