"""Clients of the platform's key-value service and host list, the table's file and the settings."""
