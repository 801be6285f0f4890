-- Long manuscripts do not delay the short reference checks that share their engines.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "line-edits", "reference-checks" }, slots = 8 }
engine { name = "e2", services = { "line-edits", "reference-checks" }, slots = 8 }
load { user = "daejeon", only = { "line-edits", "reference-checks" }, count = 80, rate = 30 }
expect { sooner = "reference-checks", than = "line-edits" }
expect { outcome = "answered", least = 80 }
