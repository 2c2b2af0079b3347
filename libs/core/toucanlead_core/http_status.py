"""Which statuses an HTTP answer may have."""

FIRST_FINAL_STATUS, LAST_STATUS = 200, 599


def is_final_status(status: int) -> bool:
    """Return whether an answer with this status is one; 1xx only precede an answer."""
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS
