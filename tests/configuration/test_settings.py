"""Settings, configuration and order heads: refused whole, each fault with its path."""

import pytest

from silverglade.configuration import schema as config
from silverglade.runtime import errors as faults
from silverglade.runtime import settings as options
from silverglade.runtime.errors import SilvergladeError
from silverglade.tenant_requests.admission import RequestHead, admit, is_surely_first

GOOD = dict(name="e", zone="z", region="r", listen="127.0.0.1:1", http="127.0.0.1:2", seeds=["127.0.0.1:3"], cores=["a", "b", "c"])
CFG = {
    "zones": {"z": {"region": "r"}},
    "tenants": {"t": {"homes": ["z"], "keys": [config.key_digest("k")], "classes": {"chat": {"aim_ms": 100}}}},
}


def test_every_fault_of_the_settings_is_told_with_its_path(snapshot):
    bad = dict(GOOD, listen="nowhere", seeds=[], cores=["a", "a"], colour=1, tuning={"beat": -1, "x": 2}, log_level="LOUD")
    with pytest.raises(SilvergladeError) as e:
        options.checked(bad)
    assert e.value.code == 701
    assert e.value.detail == snapshot
    assert options.checked(GOOD)["tuning"]["beat"].total_seconds() == 0.25


@pytest.mark.parametrize("without", [["prefixes"], ["prefix", "prefix"], "prefix", [3], ["cold-shares"]])
def test_a_switch_of_a_mechanism_that_is_not_known_is_refused(without):
    with pytest.raises(SilvergladeError) as e:
        options.checked(dict(GOOD, tuning={"without": without}))
    assert e.value.code == 701 and "tuning.without" in e.value.detail
    assert options.checked(dict(GOOD, tuning={"without": ["prefix"]}))["tuning"]["without"] == ("prefix",)


def test_a_core_keeps_data_and_nobody_else_does():
    for bad in (
        dict(GOOD, data=""),
        dict(GOOD, name="a"),
        dict(GOOD, cores=["a", "b"]),
        dict(GOOD, cores=[f"c{i}" for i in range(10)]),
        dict(GOOD, tolerance={"machines": 5}),
        dict(GOOD, tolerance={"cores": 1}),
        dict(GOOD, first="yes"),
    ):
        with pytest.raises(SilvergladeError):
            options.checked(bad)
    late = options.checked(dict(GOOD, data="x", first=False))  # a core that joins those named
    assert late["data"] == "x" and late["tolerance"] == {"machines": 1, "zones": 1, "regions": 1}


def test_every_fault_of_a_configuration_is_told_with_its_path(snapshot):
    bad = {
        "zones": {"z": {"region": "r", "least": -1}, "y": {}},
        "extra": 1,
        "tenants": {
            "t": {"homes": [], "keys": ["short"], "classes": {}},
            "u": {"homes": ["z", "z"], "keys": [], "classes": {"c": {"aim_ms": "9"}}},
        },
    }
    assert config.parse_configuration(bad)[1] == snapshot
    twice = {"zones": CFG["zones"], "tenants": {"t": CFG["tenants"]["t"], "u": dict(CFG["tenants"]["t"], homes=["x"])}}
    assert config.parse_configuration(twice)[1] == (("tenants.u.homes[0]", "unknown zone x"), ("tenants.u.keys[0]", "also a key of t"))
    good, bad = config.parse_configuration(CFG)
    assert bad == () and good["tenants"]["t"]["classes"]["chat"]["due_ms"] == 30000


def head(**kw):
    given = dict(configuration=config.parse_configuration(CFG)[0], body_size=1, generated_key="m")
    texts = dict(bearer_key="k", class_name="chat", key="", deadline="", prefix="", attempt="")
    for name, value in kw.items():
        (given if name in given else texts)[name] = value
    return admit(given.pop("configuration"), RequestHead(**texts), **given)


@pytest.mark.parametrize(
    "kw,code",
    [
        (dict(bearer_key=""), 201),
        (dict(bearer_key="other"), 202),
        (dict(class_name="nothing"), 203),
        (dict(body_size=1 << 21), 204),
        (dict(deadline="soon"), 206),
        (dict(deadline="1.5"), 206),
        (dict(deadline="0"), 207),
        (dict(deadline="-4"), 207),
        (dict(attempt="x"), 208),
        (dict(key="k" * 201), 208),
        (dict(configuration=None), 309),
    ],
)
def test_a_bad_order_has_its_code_before_anything_is_handed_on(kw, code):
    with pytest.raises(SilvergladeError) as e:
        head(**kw)
    assert e.value.code == code


def test_not_run_is_promised_without_an_owner_only_when_that_is_sure():
    assert is_surely_first(head()) and is_surely_first(head(key="a", attempt="1"))
    assert not is_surely_first(head(key="a")) and not is_surely_first(head(key="a", attempt="2"))


def test_every_code_has_a_name_of_its_own_and_stands_in_the_docs():
    assert len({n for n, _, _ in faults.RESULT_CODES.values()}) == len(faults.RESULT_CODES)
    doc = open("docs/faults.md", encoding="utf-8").read()
    for code, (name, http, say) in faults.RESULT_CODES.items():
        assert f"| {code} | {name} | {http or ''} | {say} |" in doc


def test_every_setting_stands_in_the_docs_with_its_default():
    doc = open("docs/options.md", encoding="utf-8").read()
    for k in options.SETTINGS:
        assert f"| `{k}` |" in doc
    for k, kind in options.TUNING.items():
        d = kind.default
        d = f"{d.total_seconds():g} s" if hasattr(d, "total_seconds") else d
        assert f"| `{k}` | {d} |" in doc


def settings(**kw):
    return options.checked(dict(GOOD, **kw))


def test_a_daemon_beyond_loopback_wants_a_key_for_each_role_or_to_be_told_outright(tmp_path):
    for i, r in enumerate(options.ROLES):
        (tmp_path / r).write_text(f"key{i}\n")
    files = {f"{r}_key_file": str(tmp_path / r) for r in options.ROLES}
    assert settings(http="10.1.2.3:80", **files)["platform_key"] == "key2"
    assert settings(http="10.1.2.3:80", open=True)["operator_key"] == ""
    (tmp_path / "none").write_text(" ")
    for bad, why in [
        (dict(http="10.1.2.3:80"), "beyond loopback"),
        (dict({k: f for k, f in files.items() if "replica" not in k}, http="10.1.2.3:80"), "beyond loopback"),
        (dict(files, platform_key_file=str(tmp_path / "missing")), "cannot be read"),
        (dict(files, platform_key_file=str(tmp_path / "none")), "holds no key"),
        (dict(operator_key="x", replica_key="x"), "a key of its own"),
        (dict(files, operator_key="x"), "given twice"),
    ]:
        with pytest.raises(SilvergladeError) as e:
            settings(**bad)
        assert e.value.code == 701 and why in e.value.detail


def test_the_flags_of_a_daemon_cover_every_setting(capsys):
    from silverglade.__main__ import main

    base = [
        "run",
        "--name",
        "e",
        "--zone",
        "z",
        "--region",
        "r",
        "--listen",
        "127.0.0.1:1",
        "--http",
        "127.0.0.1:2",
        "--seeds",
        "127.0.0.1:3",
        "--cores",
        "a,b,c",
        "--check",
    ]
    assert main(base) == 0 and "sound" in capsys.readouterr().out
    assert main(base + ["--tolerance", "2,1,1", "--not-first", "--data", "x"]) == 0
    assert main(base + ["--tolerance", "9,1,1"]) == 2 and "tolerance.machines" in capsys.readouterr().err
