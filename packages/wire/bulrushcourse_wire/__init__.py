"""Encodings of messages between entries and of stored JSON documents."""
