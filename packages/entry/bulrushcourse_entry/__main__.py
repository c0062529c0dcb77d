"""Runs the command line as ``python -m bulrushcourse_entry``."""

from bulrushcourse_entry import command

if __name__ == '__main__':
    command.main()
