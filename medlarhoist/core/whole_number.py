"""Whole number: reads decimal digits that another process sent as text."""


def parse_whole_number(text: str, max_digits: int) -> int | None:
    """Return a whole number, None for any other text.

    Args:
        text: ASCII digits; `str.isdigit` alone also accepts other digits, which
            `int` may not.
        max_digits: digits that it may have; `int` raises for thousands.
    """
    if text.isascii() and text.isdigit() and len(text) <= max_digits:
        return int(text)
    return None
