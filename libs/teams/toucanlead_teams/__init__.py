"""Teams of callers: their keys, their rates over all entries, their shares of the room."""
