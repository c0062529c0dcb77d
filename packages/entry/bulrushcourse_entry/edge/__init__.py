"""The program that serves callers on the users' platform."""
