-- One of three engines becomes thirty times slower: requests go to the other engines.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "price-answers" }, slots = 8 }
engine { name = "e2", services = { "price-answers" }, slots = 8 }
engine { name = "straggler", services = { "price-answers" }, slots = 8 }
load { user = "cooperative", only = { "price-answers" }, count = 200, rate = 40 }
slow { endpoint = "straggler", factor = 30, at = 0.5 }
expect { goodput_of = "window", least = 0.9 }
