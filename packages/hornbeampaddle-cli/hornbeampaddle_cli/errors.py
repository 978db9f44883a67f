"""Define the errors that end a command, and its exit codes."""

EXIT_REFUSED = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5


class UserError(Exception):
    """A message that the person at the terminal can act on."""

    def __init__(self, message: str, code: int = EXIT_REFUSED) -> None:
        """Keep the sentence and the exit code."""
        super().__init__(message)
        self.code = code
