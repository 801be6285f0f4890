// lentilbay-scenario: runs scripts against daemon processes on loopback and judges each run.
#include "Judge.h"
#include "ProcessRun.h"
#include "ScriptReader.h"
#include "lentilbay/Invariants/Summary.h"

#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(bin, "", "folder of lentilbayd and the stand-ins; that of this program where empty");
DEFINE_bool(check, false, "only read the scripts");
DEFINE_string(logs, "", "folder that keeps settings and logs; a temporary one where empty");

namespace {

using namespace lentilbay;
using namespace lentilbay::scenario;

constexpr int exitNotMet = 1;
constexpr int exitUnreadable = 2;

/// A folder that is removed with its object, unless --logs names it.
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
            throw std::runtime_error("no temporary folder can be made");
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
    const auto faults = judge(scenario, records);
    for (const auto& it : faults)
        std::cout << "  " << it << '\n';
    std::cout << (faults.empty() ? "met: " : "NOT MET: ") << path << std::endl;
    return faults.empty();
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
        std::cerr << "lentilbay-scenario: names no script\n";
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
