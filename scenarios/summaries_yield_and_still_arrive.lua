-- Overnight summaries wait while contract drafts are served, and all are answered.
for n = 0, 1 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "contract-drafts", "grade-summaries" }, slots = 4 }
load { user = "cooperative", only = { "grade-summaries" }, count = 30, rate = 60, timeout = 60 }
load { user = "cooperative", only = { "contract-drafts" }, count = 30, rate = 20, seed = 2 }
expect { outcome = "answered", service = "contract-drafts", least = 30 }
expect { outcome = "answered", service = "grade-summaries", least = 30 }
