import os

from rosemaryward.operators.bounded_logs import NonBlockingWriter


def test_closed_output_drops_lines():
    """Guards against a reader of the logs whose end also ends the process."""
    reading, writing = os.pipe()
    writer = NonBlockingWriter(writing)
    os.close(reading)
    try:
        writer.msg(b"line")
    finally:
        os.close(writing)
