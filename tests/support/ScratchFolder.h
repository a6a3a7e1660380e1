// ScratchFolder.h: a folder for the files of one test.
#ifndef caraway_tests_ScratchFolder_h
#define caraway_tests_ScratchFolder_h

#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>
#include <stdexcept>
#include <string>

namespace caraway {

// Created empty under a name of its own, since another run of the same suite
// may use the same temporary folder at the same time; removed at the end.
class ScratchFolder
{
public:
  ScratchFolder()
  {
    std::string name = testing::TempDir() + "caraway-XXXXXX";
    if (!mkdtemp(name.data())) {
      throw std::runtime_error("can't create a folder in " +
                               testing::TempDir());
    }
    mPath = name;
  }
  ~ScratchFolder()
  {
    std::error_code ignored; // a file left behind fails no test
    std::filesystem::remove_all(mPath, ignored);
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  std::string File(const char* aName) const { return mPath / aName; }

private:
  std::filesystem::path mPath;
};

} // namespace caraway

#endif
