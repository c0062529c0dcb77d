"""Entry point of ``python -m bulrushcourse_ctl``."""

from bulrushcourse_ctl import command

if __name__ == '__main__':
    command.main()
