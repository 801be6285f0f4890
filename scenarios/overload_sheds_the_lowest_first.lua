-- Load far exceeds the capacity: the window tier is served, and no tier is shed while a lower one is served.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "price-answers", "contract-drafts", "grade-summaries" }, slots = 4, decode_step = 0.004 }
load { user = "cooperative", only = { "price-answers", "contract-drafts", "grade-summaries" },
       mix = "price-answers=1,contract-drafts=2,grade-summaries=4", count = 200, rate = 100, deadline_scale = 0.2 }
expect { goodput_of = "window", least = 0.9 }
expect { outcome = "lost", most = 0 }
