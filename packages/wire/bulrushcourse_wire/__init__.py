"""Messages between entries and JSON documents."""
