package quartzspan;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which packages may depend on which; docs/design/fleet.md shows them in a diagram. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("quartzspan");

    @Test
    void loadBalancingUsesNoOtherPackageAndNoNetworking() {
        noClasses()
                .that()
                .resideInAPackage("quartzspan.loadbalancing")
                .should()
                .dependOnClassesThat(resideInAPackage("quartzspan..")
                        .and(not(resideInAPackage("quartzspan.loadbalancing")))
                        .or(resideInAnyPackage("io.netty..", "java.net..")))
                .check(ALL);
    }

    @Test
    void clientProxyDoesNotUseTheFleet() {
        noClasses()
                .that()
                .resideInAnyPackage("quartzspan.clientproxy", "quartzspan.http", "quartzspan.simulator")
                .should()
                .dependOnClassesThat(resideInAPackage("quartzspan..")
                        .and(not(resideInAnyPackage(
                                "quartzspan.clientproxy",
                                "quartzspan.http",
                                "quartzspan.simulator",
                                "quartzspan.loadbalancing"))))
                .check(ALL);
    }

    @Test
    void controlLogicPerformsNoIo() {
        noClasses()
                .that()
                .resideInAnyPackage("quartzspan.replication", "quartzspan.registry", "quartzspan.prefixcache")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.nio.file..",
                        "quartzspan.transport..",
                        "quartzspan.frontend..",
                        "quartzspan.controlplane..")
                .check(ALL);
    }

    @Test
    void programsAndLibrariesUseNothingAboveThem() {
        noClasses()
                .that()
                .resideInAPackage("quartzspan.frontend")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("quartzspan.controlplane")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("quartzspan.controlplane")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("quartzspan.frontend")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage("quartzspan.store", "quartzspan.configuration", "quartzspan.common")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("quartzspan.replication..", "quartzspan.registry..", "io.netty..")
                .check(ALL);
    }
}
