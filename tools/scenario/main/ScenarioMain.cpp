// lentilbay-scenario: runs scripts against daemon processes on loopback and evaluates each run.
#include "Evaluation.h"
#include "ProcessRun.h"
#include "ScriptReader.h"
#include "lentilbay/Invariants/Summary.h"

#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(bin, "", "folder of lentilbayd and the stand-ins; empty means the folder of this program");
DEFINE_bool(check, false, "only check that the scripts can be read");
DEFINE_string(logs, "", "folder in which to keep settings and logs; empty means a temporary one");

namespace {

using namespace lentilbay;
using namespace lentilbay::scenario;

constexpr int exitNotMet = 1;
constexpr int exitUnreadable = 2;

/// The folder of one run. A temporary one is removed by the destructor; one named by --logs is kept.
class RunFolder {
public:
    RunFolder()
        : m_path(FLAGS_logs)
    {
        if (!m_path.empty()) {
            std::filesystem::create_directories(m_path);
            return;
        }
        auto name = (std::filesystem::temp_directory_path() / "lentilbay-scenario-XXXXXX").string();
        if (!mkdtemp(name.data()))
            throw std::runtime_error("cannot create a temporary folder");
        m_path = m_temporary = name;
    }
    RunFolder(const RunFolder&) = delete;
    RunFolder& operator=(const RunFolder&) = delete;
    ~RunFolder()
    {
        std::error_code ec;
        if (!m_temporary.empty())
            std::filesystem::remove_all(m_temporary, ec);
    }

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
    /// Empty if --logs names the folder.
    std::string m_temporary;
};

bool runScript(const std::string& path, const std::string& binaries)
{
    const auto scenario = readScriptFile(path);
    if (FLAGS_check)
        return true;
    const RunFolder folder;
    const auto records = ProcessRun(scenario, { .binaries = binaries, .folder = folder.path() }).run();
    std::cout << path << '\n' << printed(summarise(records));
    const auto failures = evaluate(scenario, records);
    for (const auto& it : failures)
        std::cout << "  " << it << '\n';
    std::cout << (failures.empty() ? "met: " : "NOT MET: ") << path << std::endl;
    return failures.empty();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs scenarios: lentilbay-scenario FILE.lua ...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto binaries = FLAGS_bin.empty()
        ? std::filesystem::read_symlink("/proc/self/exe").parent_path().string()
        : FLAGS_bin;
    if (argc < 2) {
        std::cerr << "lentilbay-scenario: no script given\n";
        return exitUnreadable;
    }
    int result = 0;
    for (int n = 1; n < argc; ++n) {
        try {
            if (!runScript(argv[n], binaries))
                result = std::max(result, exitNotMet);
        } catch (const std::exception& error) {
            std::cerr << "lentilbay-scenario: " << error.what() << '\n';
            result = exitUnreadable;
        }
    }
    return result;
}
