"""``bulrushctl``, the command-line tool for operators."""
