-- All daemons are replaced one after another under load: clients of the other daemons are not affected.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "reference-checks" }, slots = 8 }
engine { name = "e2", services = { "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks" }, count = 60, rate = 30, daemons = { "d1", "d2" } }
load { user = "daejeon", only = { "reference-checks" }, count = 60, rate = 30, seed = 2, daemons = { "d0" }, from = 4 }
stop { daemon = "d0", at = 0.5 }
restart { daemon = "d0", at = 0.6 }
stop { daemon = "d1", at = 3.2 }
restart { daemon = "d1", at = 3.3 }
stop { daemon = "d2", at = 7 }
restart { daemon = "d2", at = 7.1 }
expect { outcome = "answered", least = 120 }
