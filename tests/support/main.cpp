// The main function of every CppUnit test program. An argument selects the
// one test or suite of that name.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

int main(int argument_count, char** arguments)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    const std::string path = argument_count > 1 ? arguments[1] : "";
    runner.run(result, path);

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    return collector.wasSuccessful() ? 0 : 1;
}
