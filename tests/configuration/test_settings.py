"""Validation of settings, configurations and request headers: rejected as a whole, each error with its path."""

import pytest

from silverglade.configuration import schema as config
from silverglade.runtime import errors as faults
from silverglade.runtime import settings as options
from silverglade.runtime.errors import SilvergladeError
from silverglade.tenant_requests.admission import RequestHead, admit, is_surely_first

VALID = dict(name="e", zone="z", region="r", listen="127.0.0.1:1", http="127.0.0.1:2", seeds=["127.0.0.1:3"], cores=["a", "b", "c"])
VALID_CONFIGURATION = {
    "zones": {"z": {"region": "r"}},
    "tenants": {"t": {"homes": ["z"], "keys": [config.key_digest("k")], "classes": {"chat": {"aim_ms": 100}}}},
}


def test_every_error_in_the_settings_is_reported_with_its_path(snapshot):
    bad = dict(VALID, listen="nowhere", seeds=[], cores=["a", "a"], colour=1, tuning={"beat": -1, "x": 2}, log_level="LOUD")
    with pytest.raises(SilvergladeError) as e:
        options.checked(bad)
    assert e.value.code == 701
    assert e.value.detail == snapshot
    assert options.checked(VALID)["tuning"]["beat"].total_seconds() == 0.25


@pytest.mark.parametrize("without", [["prefixes"], ["prefix", "prefix"], "prefix", [3], ["cold-shares"]])
def test_an_unknown_mechanism_in_without_is_refused(without):
    with pytest.raises(SilvergladeError) as e:
        options.checked(dict(VALID, tuning={"without": without}))
    assert e.value.code == 701 and "tuning.without" in e.value.detail
    assert options.checked(dict(VALID, tuning={"without": ["prefix"]}))["tuning"]["without"] == ("prefix",)


def test_only_a_core_has_a_data_folder():
    for bad in (
        dict(VALID, data=""),
        dict(VALID, name="a"),
        dict(VALID, cores=["a", "b"]),
        dict(VALID, cores=[f"c{i}" for i in range(10)]),
        dict(VALID, tolerance={"machines": -1}),
        dict(VALID, tolerance={"cores": 1}),
        dict(VALID, first="yes"),
    ):
        with pytest.raises(SilvergladeError):
            options.checked(bad)
    late = options.checked(dict(VALID, data="x", first=False))  # a core that joins the named ones
    assert late["data"] == "x" and late["tolerance"] == {"machines": 1, "zones": 1, "regions": 1}


# Guards against: a daemon that is started again does not start, because fewer cores are left than the first start needs.
@pytest.mark.parametrize("cores", [["a", "b"], ["a"], [], [f"c{i}" for i in range(10)]])
@pytest.mark.parametrize("name, data", [("e", ""), ("a", "x"), ("f", "x")])
def test_a_fleet_that_has_run_before_starts_again_with_whichever_cores_are_left(cores, name, data):
    seeds = [f"127.0.0.1:{number}" for number, _ in enumerate(cores, 3)]
    folder = {"data": data} if data else {}
    again = options.checked(dict(VALID, name=name, cores=cores, seeds=seeds, first=False, **folder))
    assert again["seeds"] == tuple(seeds) and again["cores"] == tuple(cores)
    with pytest.raises(SilvergladeError, match="cores: must have 3 to 9 for the first start"):
        options.checked(dict(VALID, name=name, data="x", cores=cores, seeds=seeds))


# Guards against: a daemon does not start because of an old list that names its address as that of a core.
def test_a_daemon_without_a_disk_that_the_list_of_cores_names_starts_again():
    assert options.checked(dict(VALID, name="a", first=False))["data"] == ""
    with pytest.raises(SilvergladeError, match="a core needs a data folder"):
        options.checked(dict(VALID, name="a"))


# Guards against: a daemon does not start because its operator plans for larger losses, or allows more retries, than usual.
def test_any_whole_tolerance_and_any_retry_figures_are_valid():
    given = options.checked(
        dict(VALID, tolerance={"machines": 5, "zones": 7, "regions": 0}, tuning={"budget_ratio": 7, "cold_excess": 0.5})
    )
    assert given["tolerance"] == {"machines": 5, "zones": 7, "regions": 0}
    assert given["tuning"]["budget_ratio"] == 7.0 and given["tuning"]["cold_excess"] == 0.5


def test_every_error_in_a_configuration_is_reported_with_its_path(snapshot):
    bad = {
        "zones": {"z": {"region": "r", "least": -1}, "y": {}},
        "extra": 1,
        "tenants": {
            "t": {"homes": [], "keys": ["short"], "classes": {}},
            "u": {"homes": ["z", "z"], "keys": [], "classes": {"c": {"aim_ms": "9"}}},
        },
    }
    assert tuple([tuple(error) for error in config.parse_configuration(bad)[1]]) == snapshot
    twice = {
        "zones": VALID_CONFIGURATION["zones"],
        "tenants": {"t": VALID_CONFIGURATION["tenants"]["t"], "u": dict(VALID_CONFIGURATION["tenants"]["t"], homes=["x"])},
    }
    assert config.parse_configuration(twice)[1] == (("tenants.u.homes[0]", "unknown zone x"), ("tenants.u.keys[0]", "also a key of t"))
    parsed, errors = config.parse_configuration(VALID_CONFIGURATION)
    assert errors == () and parsed["tenants"]["t"]["classes"]["chat"]["due_ms"] == 30000


def admitted(**kw):
    """Admit a request with these headers or arguments."""
    given = dict(configuration=config.parse_configuration(VALID_CONFIGURATION)[0], body_size=1, generated_key="m")
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
def test_an_invalid_request_is_refused_with_its_code(kw, code):
    with pytest.raises(SilvergladeError) as e:
        admitted(**kw)
    assert e.value.code == code


def test_a_request_is_surely_first_with_a_generated_key_or_as_attempt_1():
    assert is_surely_first(admitted()) and is_surely_first(admitted(key="a", attempt="1"))
    assert not is_surely_first(admitted(key="a")) and not is_surely_first(admitted(key="a", attempt="2"))


def test_every_result_code_has_a_unique_name_and_is_documented():
    assert len({n for n, _, _ in faults.RESULT_CODES.values()}) == len(faults.RESULT_CODES)
    doc = open("docs/faults.md", encoding="utf-8").read()
    for code, (name, http, message) in faults.RESULT_CODES.items():
        assert f"| {code} | {name} | {http or ''} | {message} |" in doc


def test_every_setting_is_documented_with_its_default():
    doc = open("docs/options.md", encoding="utf-8").read()
    for k in options.SETTINGS:
        assert f"| `{k}` |" in doc
    for k, kind in options.TUNING.items():
        d = kind.default
        d = f"{d.total_seconds():g} s" if hasattr(d, "total_seconds") else d
        assert f"| `{k}` | {d} |" in doc


def settings(**kw):
    return options.checked(dict(VALID, **kw))


def test_a_daemon_beyond_loopback_needs_a_key_for_each_role_or_the_open_setting(tmp_path):
    for i, r in enumerate(options.API_ROLES):
        (tmp_path / r).write_text(f"key{i}\n")
    files = {f"{r}_key_file": str(tmp_path / r) for r in options.API_ROLES}
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


def test_the_flags_of_run_are_parsed_and_checked(capsys):
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
    assert main(base + ["--tolerance=-1,1,1"]) == 2 and "tolerance.machines" in capsys.readouterr().err
