-- Two operators submit through two daemons at once under load: the accepted configuration is in force everywhere.
for n = 0, 2 do daemon { name = "d" .. n } end
platform {}
engine { name = "e1", services = { "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks" }, count = 60, rate = 20 }
apply { daemon = "d1", at = 0.5 }
apply { daemon = "d2", at = 0.5 }
expect { accepted = true, least = 2 }
expect { outcome = "answered", least = 60 }
