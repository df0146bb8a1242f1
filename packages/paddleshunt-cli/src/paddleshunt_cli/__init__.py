"""The `paddleshunt` command line for operators and callers."""
