// The command `shallotlever load` as a program of its own.

#include <QCoreApplication>

#include "shallotlever/load/load.h"

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    return shallotlever::runLoad({ argv + 1, argv + argc });
}
