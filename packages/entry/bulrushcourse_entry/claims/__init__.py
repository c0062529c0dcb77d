"""At-most-once execution: claims, issued keys and recorded outcomes."""
