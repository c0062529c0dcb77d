"""Tests of the targets of requests."""

import multidict
import pytest

from bulrushcourse_entry.edge.callers import request_target


@pytest.mark.parametrize(
    'target, authority, path_and_query',
    (
        ('/a/?b=http://c/', 'h:1', '/a/?b=http://c/'),
        ('http://x.example/a?b', 'x.example', '/a?b'),
        ('HTTPS://x.example', 'x.example', '/'),
        ('http://u:p@x.example:81?b/c', 'x.example:81', '/?b/c'),
        ('http://[::1]:81//a', '[::1]:81', '//a'),
        ('*', 'h:1', '*'),
        ('x.example:80', 'h:1', 'x.example:80'),
        ('ftp://x.example/a', 'h:1', 'ftp://x.example/a'),
    ),
)
def test_target_is_split_without_a_change(target, authority, path_and_query):
    # Guards against a path or query that reaches upstreams changed.
    parsed = request_target.parse(target, 'h:1')
    assert parsed == request_target.RequestTarget(authority, path_and_query)


def test_host_of_an_absolute_target_replaces_the_header():
    # Guards against an upstream that serves another host than the route's.
    headers = multidict.CIMultiDictProxy(
        multidict.CIMultiDict([('host', 'a'), ('X', '1'), ('X', '2')])
    )
    target = request_target.parse('http://b.example/', 'a')
    assert sorted(target.forwarded(headers).items()) == [
        ('Host', 'b.example'),
        ('X', '1'),
        ('X', '2'),
    ]
    target = request_target.parse('/', 'a')
    assert target.forwarded(headers) is headers
