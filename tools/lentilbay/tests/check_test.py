"""Tests `lentilbay check` as a process: exit status, both formats, and the store as the configuration in force."""

import base64
import http.server
import json
import subprocess
import sys
import tempfile
import threading
import pathlib
import unittest

TOOL = sys.argv.pop(1)
SOUND = {
    "Version": 7,
    "Routes": [{"Name": "r", "Host": "h", "Prefix": "/a/", "Type": "safe", "TimeoutMs": 2000, "Service": "s"}],
    "Services": [{"Name": "s"}],
    "Tenants": [{"Name": "o", "ApiKeys": ["key-number-1"]}],
}


class Store(http.server.BaseHTTPRequestHandler):
    """A store that has one configuration."""

    document = json.dumps(SOUND)

    def do_GET(self):
        value = base64.b64encode(self.document.encode()).decode()
        rows = [{"Table": "op", "Key": "config", "Ver": 1, "Value": value}]
        body = json.dumps({"Rows": rows, "HasMore": False, "Ver": 1, "NowMs": 1}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_POST = do_GET

    def log_message(self, *arguments):
        pass


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def write(self, text, name="next.json"):
        path = pathlib.Path(self.directory.name) / name
        path.write_text(text if isinstance(text, str) else json.dumps(text))
        return str(path)

    def run_tool(self, *arguments, stdin=""):
        out = subprocess.run(
            [TOOL, *arguments], capture_output=True, text=True, input=stdin, timeout=20, check=False)
        return out.returncode, out.stdout

    def test_sound_configuration(self):
        self.assertEqual(self.run_tool("check", self.write(SOUND)), (0, ""))
        self.assertEqual(self.run_tool("check", "-", stdin=json.dumps(SOUND)), (0, ""))

    def test_findings(self):
        path = self.write(SOUND | {"Tenants": []})
        status, text = self.run_tool("check", path)
        self.assertEqual(status, 1)
        self.assertIn(f"{path}: error: Tenants is empty", text)
        status, text = self.run_tool("check", path, "--format=json")
        self.assertEqual(status, 1)
        self.assertEqual(json.loads(text)["findings"][0]["place"], "Tenants")

    def test_unreadable(self):
        for path in (self.write('{"Version":'), "/nonexistent", self.directory.name, self.write(" " * 9_000_000, "huge")):
            status, text = self.run_tool("check", path, "--format=json")
            self.assertEqual(status, 1, path)
            self.assertEqual(json.loads(text)["findings"][0]["severity"], "error", path)

    def test_usage(self):
        path = self.write(SOUND)
        for arguments in ((), ("check",), ("other", path), ("check", path, path), ("check", path, "--format=xml"),
                          ("check", path, "--unknown=1"), ("check", path, "--timeout=x"), ("check", path, "--against"),
                          ("check", path, "--against=" + path, "--store=127.0.0.1:1")):
            self.assertEqual(self.run_tool(*arguments)[0], 2, arguments)

    def test_against(self):
        former = self.write(SOUND | {"Version": 6, "Tenants": [{"Name": "o", "ApiKeys": ["key-number-1", "gone-key-2"]}]},
                            "former.json")
        status, text = self.run_tool("check", self.write(SOUND), "--against", former)
        self.assertEqual(status, 0, "what differs is no fault")
        self.assertIn('change: Tenants the key gon*** of "o" is revoked', text)
        self.assertEqual(self.run_tool("check", self.write(SOUND), "--against=/nonexistent")[0], 1)

    def test_store(self):
        server = http.server.HTTPServer(("127.0.0.1", 0), Store)
        self.addCleanup(server.server_close)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.shutdown)
        address = f"--store=127.0.0.1:{server.server_port}"
        self.assertEqual(self.run_tool("check", self.write(SOUND | {"Version": 8}), address), (0, ""))
        status, text = self.run_tool("check", self.write(SOUND | {"Version": 6}), address)
        self.assertEqual(status, 1)
        self.assertIn("error: Version of 6", text)
        Store.document = "{"
        self.assertEqual(self.run_tool("check", self.write(SOUND), address)[0], 1)
        self.assertEqual(self.run_tool("check", self.write(SOUND), "--store=127.0.0.1:1")[0], 1)


unittest.main()
