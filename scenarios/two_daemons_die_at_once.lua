-- Two of three daemons are killed at once: the third continues to serve.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "reference-checks" }, slots = 8 }
engine { name = "e2", services = { "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks" }, count = 60, rate = 20, daemons = { "d0" } }
load { user = "daejeon", only = { "reference-checks" }, count = 20, rate = 20, seed = 2, daemons = { "d1", "d2" } }
kill { daemon = "d1", at = 0.5 }
kill { daemon = "d2", at = 0.5 }
expect { outcome = "answered", least = 60 }
