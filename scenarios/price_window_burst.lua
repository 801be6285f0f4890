-- Bursts of price requests arrive during overnight summaries: no price request is shed for a summary.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "price-answers", "grade-summaries" }, slots = 8 }
engine { name = "e2", services = { "price-answers", "grade-summaries" }, slots = 8 }
load { user = "cooperative", only = { "price-answers" }, count = 120, rate = 40, burst_every = 1, burst_size = 40 }
load { user = "cooperative", only = { "grade-summaries" }, count = 60, rate = 30, seed = 2 }
expect { goodput_of = "window", least = 1 }
