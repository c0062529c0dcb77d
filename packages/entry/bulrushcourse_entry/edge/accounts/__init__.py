"""Checks of client accounts before and during the execution of requests."""
