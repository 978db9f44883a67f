"""Give operators and callers a command line."""
