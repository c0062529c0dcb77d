"""HTTP listener for operators."""
