import pytest

from rosemaryward.decisions.routing.classification import Classifier, StatementKind

READ, WRITE, LOCAL = StatementKind.READ, StatementKind.WRITE, StatementKind.LOCAL


@pytest.mark.parametrize(
    ("sql", "kind", "tables"),
    [
        pytest.param("SELECT * FROM bookings WHERE id = 7", READ, {"bookings"}, id="r"),
        pytest.param(
            "select a.x from Routes a join depots d on d.id = a.d",
            READ,
            {"routes", "depots"},
            id="join-lower-case",
        ),
        pytest.param(
            "WITH t AS (SELECT * FROM stock) SELECT * FROM t", READ, {"stock"}, id="cte"
        ),
        pytest.param(
            "SELECT * FROM bookings FOR UPDATE", WRITE, {"bookings"}, id="lock"
        ),
        pytest.param(
            "INSERT INTO bookings SELECT * FROM staging",
            WRITE,
            {"bookings", "staging"},
            id="insert-select",
        ),
        pytest.param("CREATE TABLE t (a INT)", WRITE, set(), id="ddl"),
        pytest.param("CALL close_day()", WRITE, set(), id="call"),
        pytest.param("SELECT FROM WHERE", WRITE, set(), id="syntax-error"),
        pytest.param("SELECT sleep(3)", WRITE, set(), id="function-with-effect"),
        pytest.param("SHOW TABLES", READ, set(), id="show-tables"),
        pytest.param("SHOW VARIABLES LIKE 'a'", LOCAL, set(), id="show-variables"),
        pytest.param("SET NAMES utf8mb4", LOCAL, set(), id="set"),
        pytest.param("SELECT @@version", LOCAL, set(), id="system-variable"),
        pytest.param("/* x */ BEGIN", StatementKind.BEGIN, set(), id="begin"),
        pytest.param("start transaction", StatementKind.BEGIN, set(), id="start"),
        pytest.param("COMMIT", StatementKind.COMMIT, set(), id="commit"),
        pytest.param("rollback", StatementKind.ROLLBACK, set(), id="rollback"),
        pytest.param("ROLLBACK TO a", WRITE, set(), id="savepoint"),
        pytest.param("", WRITE, set(), id="empty"),
        pytest.param(
            "SELECT * FROM t -- '\n FOR UPDATE -- '", WRITE, {"t"}, id="line-comment"
        ),
        pytest.param(
            'SELECT * FROM t # "\n FOR UPDATE # "', WRITE, {"t"}, id="hash-comment"
        ),
        pytest.param(
            "SELECT * FROM t /* ' */ FOR UPDATE /* ' */", WRITE, {"t"}, id="comment"
        ),
        pytest.param(
            "SELECT `a'b` FROM t WHERE `c'd` = 1 FOR UPDATE", WRITE, {"t"}, id="name"
        ),
        pytest.param("SELECT * FROM t /*! FOR UPDATE */", WRITE, set(), id="executed"),
        pytest.param("SELECT `/*!` FROM t", WRITE, set(), id="quoted-comment"),
    ],
)
def test_classify(sql, kind, tables):
    """Guards against a write that is sent to a replica."""
    statement = Classifier().classify(sql)
    assert (statement.kind, set(statement.tables)) == (kind, tables)


def test_literals_share_a_cache_entry():
    """Guards against parsing every statement that differs only in its literals."""
    classifier = Classifier()
    for number in range(50):
        classifier.classify(f"SELECT * FROM t WHERE a = {number} AND b = 'x{number}'")
    assert len(classifier.cache) == 1


def test_cache_is_bounded():
    """Guards against memory use that grows with the number of statements."""
    classifier = Classifier(size=10)
    for number in range(30):
        classifier.classify(f"SELECT * FROM t{number}")
    assert len(classifier.cache) == 10


def test_long_statements_do_not_fill_the_cache():
    """Guards against one caller whose statements take the memory of the process."""
    classifier = Classifier(max_characters=2_000)
    for number in range(30):
        classifier.classify(f"SELECT * FROM t{number} WHERE " + "a = b OR " * 50)
    assert sum(map(len, classifier.cache)) == classifier.characters <= 2_000


def test_quoted_keyword_is_a_literal():
    """Guards against a literal that determines the class of a cached fingerprint."""
    classifier = Classifier()
    classifier.classify("SELECT * FROM t WHERE a = 'FOR UPDATE'")
    assert classifier.classify("SELECT * FROM t WHERE a = 'b'").kind is READ
