"""The error value that functions return inside ``result.Err``."""

import msgspec

from bramleyrouter.codes import Code


class Finding(msgspec.Struct, frozen=True):
    """Hold one problem that a check of the settings or of a document found."""

    code: str
    level: str
    place: str
    text: str
    hint: str = ""

    def __str__(self):
        hint = f"\n    HINT: {self.hint}" if self.hint else ""
        return f"{self.place}: ({self.code}) {self.level}: {self.text}{hint}"


class Failure(msgspec.Struct, frozen=True):
    """Hold a result code and a sentence that describes the error.

    For example ``Failure(Code.UNKNOWN_SERVICE, 'Service "x" is not in the
    manifest.')``. ``findings`` lists all that a check found.
    """

    code: Code
    text: str
    findings: tuple[Finding, ...] = ()

    def __str__(self):
        return f"[{int(self.code)}] {self.text}"
