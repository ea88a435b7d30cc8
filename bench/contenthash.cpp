// Prints the content hash of the standard input, for scripts that write documents to the store.
#include "core/configview.h"

#include <iostream>
#include <iterator>
#include <string>

int main()
{
    const std::string text((std::istreambuf_iterator<char>(std::cin)), std::istreambuf_iterator<char>());
    std::cout << Geraniumsail::contentHash(text) << "\n";
    return 0;
}
