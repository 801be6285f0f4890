// Runs a fuzz target without libFuzzer on each input of its corpus, then on mutations of them. The seed is
// fixed, so that every build and every CI run tests the same inputs.
#include "lentilbay/Support/Random.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace {

constexpr uint64_t seed = 1;
constexpr size_t mutationCount = 20'000;
constexpr size_t maxChanges = 8;

std::vector<std::string> readCorpus(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto& it : std::filesystem::directory_iterator(folder))
        files.push_back(it.path());
    // The iteration order of a directory is unspecified.
    std::ranges::sort(files);
    std::vector<std::string> inputs;
    for (const auto& it : files) {
        std::ifstream in(it, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    return inputs;
}

void run(const std::string& input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(input.data()), input.size());
}

std::string mutate(std::string input, const std::vector<std::string>& corpus, lentilbay::Random& random)
{
    const auto changes = 1 + random.below(maxChanges);
    for (uint64_t n = 0; n < changes; ++n) {
        const auto at = random.below(input.size() + 1);
        const auto& other = corpus[random.below(corpus.size())];
        const auto from = random.below(other.size() + 1);
        const auto length = random.below(32);
        switch (random.below(4)) {
        case 0:
            input.insert(at, 1, static_cast<char>(random.below(256)));
            break;
        case 1:
            input.erase(at, length);
            break;
        case 2:
            input.insert(at, other, from, length);
            break;
        default:
            if (at < input.size())
                input[at] = static_cast<char>(random.below(256));
        }
    }
    return input;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " CORPUS_FOLDER\n";
        return 2;
    }
    const auto corpus = readCorpus(argv[1]);
    if (corpus.empty()) {
        std::cerr << argv[1] << " contains no corpus files\n";
        return 2;
    }
    for (const auto& it : corpus)
        run(it);
    lentilbay::Random random(seed);
    for (size_t n = 0; n < mutationCount; ++n)
        run(mutate(corpus[random.below(corpus.size())], corpus, random));
    std::cout << corpus.size() << " inputs and " << mutationCount << " mutations\n";
    return 0;
}
