-- The journal's status requests and the cooperative's lot checks are relayed unchanged beside model requests.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "line-edits" }, slots = 8 }
service { name = "journal", services = { "manuscript-status" } }
service { name = "booking", services = { "lot-checks" } }
load { user = "daejeon", only = { "manuscript-status", "line-edits" }, count = 100, rate = 60 }
load { user = "cooperative", only = { "lot-checks" }, count = 100, rate = 60, seed = 2 }
expect { outcome = "answered", least = 200 }
