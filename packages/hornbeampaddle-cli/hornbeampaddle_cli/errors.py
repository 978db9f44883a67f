"""Errors that end a command, and their exit codes."""

EXIT_REFUSED = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5


class UserError(Exception):
    """An error that the user can act on; printed without a traceback."""

    def __init__(self, message: str, code: int = EXIT_REFUSED) -> None:
        """Store the message and the exit code."""
        super().__init__(message)
        self.code = code
