from types import SimpleNamespace

from rosemaryward.proxy import platform_main


def test_descriptor_limit_is_raised_before_the_proxy_runs(monkeypatch):
    """Guards against limits for more descriptors than the process may open."""
    calls = []

    def record(name, result=None):
        return lambda *args, **options: calls.append(name) or result

    settings = SimpleNamespace(name="proxy-1")
    monkeypatch.setattr(platform_main, "read_settings", record("settings", settings))
    monkeypatch.setattr(platform_main, "configure_bounded_logging", record("logs"))
    monkeypatch.setattr(platform_main, "return_freed_memory", record("memory"))
    monkeypatch.setattr(platform_main, "raise_descriptor_limit", record("descriptors"))
    monkeypatch.setattr(platform_main, "PlatformNode", record("node"))
    monkeypatch.setattr(platform_main.anyio, "run", record("run"))
    platform_main.main()
    assert calls.index("descriptors") < calls.index("node") < calls.index("run")
