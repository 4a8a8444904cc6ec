#pragma once

#include <Deployment.h>

#include <doctest/doctest.h>

// A temporary folder with a deploy file that names the entry program of this build.
class ProgramFolder
{
public:
  ProgramFolder()
  {
    path_ = (std::filesystem::temp_directory_path() / "entry-e2e-XXXXXX").string();
    REQUIRE(mkdtemp(path_.data()) != nullptr);
    std::filesystem::create_directory(path_ + "/deploy");
    std::ofstream(path_ + "/deploy/system.toml") << "run = \"" ENTRY_PROGRAM "\"\n";
  }
  ~ProgramFolder() { std::filesystem::remove_all(path_); }
  ProgramFolder(const ProgramFolder&) = delete;
  ProgramFolder& operator=(const ProgramFolder&) = delete;

  const std::string& path() const { return path_; }

private:
  std::string path_;
};
