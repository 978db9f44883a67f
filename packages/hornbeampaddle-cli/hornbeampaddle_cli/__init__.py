"""Command line for operators and callers."""
