"""Small stand-ins for the platform, for tests and for trying the system out."""
