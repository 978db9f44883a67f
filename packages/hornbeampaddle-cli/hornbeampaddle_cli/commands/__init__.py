"""Hold one thin module for each command."""
