"""What is wrong with a configuration, told by key, value and what was expected."""

REQUIRED = object()  # the default of an entry that has none


class ConfigError(Exception):
    """A configuration that cannot be used.

    Attributes:
        key: the full key at fault, as `settings.requestClasses[0].aimUs`, or the name of a variable.
        expected: what should stand there, in words.
    """

    def __init__(self, key: str, value: object, expected: str) -> None:
        shown = "missing" if value is REQUIRED else f"{value!r}"[:80]
        super().__init__(f"{key}: {shown}, expected {expected}")
        self.key, self.expected = key, expected
