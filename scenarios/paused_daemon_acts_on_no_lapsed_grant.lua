-- A daemon with open requests is paused for longer than its grants are valid: no request is dispatched twice.
for n = 0, 2 do daemon { name = "d" .. n } end
engine { name = "e1", services = { "reference-checks", "line-edits" }, slots = 8 }
engine { name = "e2", services = { "reference-checks", "line-edits" }, slots = 8 }
load { user = "daejeon", only = { "reference-checks", "line-edits" }, count = 120, rate = 30 }
pause { daemon = "d1", at = 0.7 }
resume { daemon = "d1", at = 4.7 }
expect { outcome = "lost", most = 0 }
