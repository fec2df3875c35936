// All tests of the system's packages: simulated time, no sleeps. Named on the command line, only those run.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

#include "invariants/invariants.h"

namespace {

void tell(pearspar::invariants::Invariant invariant, std::string_view what) {
  std::cerr << "invariant broken: " << pearspar::invariants::name(invariant) << ": " << what << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  pearspar::invariants::set_violation_handler(tell);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collected;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collected);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter(&collected, std::cerr).write();
  std::cout << collected.runTests() - collected.testFailuresTotal() << " passed, "
            << collected.testFailuresTotal() << " failed\n";
  // Whatever the cases ask for, the code's own invariants held all the while.
  const bool held = pearspar::invariants::violations() == 0;
  return held && collected.wasSuccessful() && collected.runTests() > 0 ? 0 : 1;
}
