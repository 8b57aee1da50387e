package quartzspan;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Who may import whom: docs/design/fleet.md has the picture. */
class BorderTest {
    private static final JavaClasses ALL = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("quartzspan", "mulleinfront");

    @Test
    void theModuleKnowsNobody() {
        noClasses().that().resideInAPackage("mulleinfront").and().haveSimpleNameNotContaining("Main").should()
                .dependOnClassesThat().resideInAnyPackage("quartzspan..", "mulleinfront.proxy", "io.netty..", "java.net..")
                .check(ALL);
    }

    @Test
    void theOldProgramKnowsNothingOfTheFleet() {
        noClasses().that().resideInAPackage("mulleinfront..").should().dependOnClassesThat().resideInAPackage("quartzspan..")
                .check(ALL);
    }

    @Test
    void controlLogicHasNoIo() {
        noClasses().that().resideInAnyPackage("quartzspan.docket", "quartzspan.roster", "quartzspan.warehouse").should()
                .dependOnClassesThat().resideInAnyPackage("io.netty..", "java.net..", "java.nio.file..",
                        "quartzspan.waybill..", "quartzspan.crossing..", "quartzspan.customhouse..").check(ALL);
    }

    @Test
    void programsKnowLibrariesAndNotEachOther() {
        noClasses().that().resideInAPackage("quartzspan.crossing").should().dependOnClassesThat()
                .resideInAnyPackage("quartzspan.customhouse").check(ALL);
        noClasses().that().resideInAPackage("quartzspan.customhouse").should().dependOnClassesThat()
                .resideInAnyPackage("quartzspan.crossing").check(ALL);
        noClasses().that().resideInAnyPackage("quartzspan.bond", "quartzspan.manifest", "quartzspan.papers").should()
                .dependOnClassesThat().resideInAnyPackage("quartzspan.docket..", "quartzspan.roster..", "io.netty..")
                .check(ALL);
    }
}
