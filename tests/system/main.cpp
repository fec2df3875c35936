// Runs the tests of altavia's libraries, or the one named on the command line. Fails too if an invariant of
// the code is violated during a test.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

#include "invariants/invariants.h"

namespace {

void print_violation(pearspar::invariants::Invariant invariant, std::string_view what) {
  std::cerr << "invariant broken: " << pearspar::invariants::name(invariant) << ": " << what << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  pearspar::invariants::set_violation_handler(print_violation);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  std::cout << collector.runTests() - collector.testFailuresTotal() << " passed, "
            << collector.testFailuresTotal() << " failed\n";
  const bool no_violations = pearspar::invariants::violations() == 0;
  return no_violations && collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
